package intake

import (
	"testing"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// TestQueue checks that the host and the longest matching path prefix select the queue.
func TestQueue(t *testing.T) {
	r := NewRouter(work.Config{Queues: []work.Queue{
		{Name: "short", Host: "a.example", PathPrefix: "/q/"}, {Name: "long", Host: "a.example", PathPrefix: "/q/deep/"},
		{Name: "other", Host: "b.example", PathPrefix: "/q/"},
	}})
	tests := []struct {
		host, path string
		queue      fleet.QueueName
		rest       string
	}{
		{"a.example", "/q/1", "short", "1"},
		{"a.example", "/q/deep/1", "long", "1"},
		{"a.example:8340", "/q/", "short", ""},
		{"b.example", "/q/deep/1", "other", "deep/1"},
		{"c.example", "/q/1", "", ""},
		{"a.example", "/", "", ""},
	}
	for _, tt := range tests {
		q, rest, _ := r.Queue(tt.host, tt.path)
		check(t, tt.host+tt.path, []string{string(tt.queue), tt.rest}, []string{string(q.Name), rest})
	}
}
