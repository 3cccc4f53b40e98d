package work

import "unsafe"

// jobOverhead is the memory in bytes that is kept for a job beside its fields: its state, its entries in maps, and at the owner of the workers
// its place in the tables of what waits.
const jobOverhead = 1024

// Memory returns about how many bytes a host needs to keep the job, without the states of its tasks.
func (j Job) Memory() int64 {
	n := jobOverhead + int64(unsafe.Sizeof(j)) + textMemory(string(j.ID), string(j.Queue), string(j.Pool), string(j.Workspace), j.Spec)
	for _, s := range j.Steps {
		n += int64(unsafe.Sizeof(s)) + int64(len(s.After))*int64(unsafe.Sizeof(0)) + textMemory(s.Label, string(s.Rack), s.Image)
	}

	return n
}

func textMemory(texts ...string) int64 {
	n := 0
	for _, t := range texts {
		n += len(t)
	}

	return int64(n)
}
