package schedule

import "iter"

// taskList is the indexes of some tasks of a step in ascending order. It takes memory for each gap, not for each task; values are immutable.
type taskList struct {
	spans []span
	count int
}

// span is the indexes from first up to, but not including, end.
type span struct {
	first, end int
}

// tasksUpTo returns the first n tasks of a step.
func tasksUpTo(n int) taskList {
	if n <= 0 {
		return taskList{}
	}

	return taskList{spans: []span{{0, n}}, count: n}
}

// len returns the number of tasks.
func (l taskList) len() int { return l.count }

// first returns the lowest index; the list must not be empty.
func (l taskList) first() int { return l.spans[0].first }

// all iterates over the indexes.
func (l taskList) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, s := range l.spans {
			for i := s.first; i < s.end; i++ {
				if !yield(i) {
					return
				}
			}
		}
	}
}

// contains reports whether a task is in the list.
func (l taskList) contains(index int) bool {
	for _, s := range l.spans {
		if index >= s.first && index < s.end {
			return true
		}
	}

	return false
}

// from returns the tasks from an index on.
func (l taskList) from(index int) taskList {
	var rest taskList
	for _, s := range l.spans {
		rest = rest.with(span{max(s.first, index), s.end})
	}

	return rest
}

// only returns the list of one task.
func (l taskList) only(index int) taskList {
	if !l.contains(index) {
		return taskList{}
	}

	return taskList{}.with(span{index, index + 1})
}

// without returns the list without some tasks, which are in ascending order.
func (l taskList) without(indexes []int) taskList {
	if len(indexes) == 0 {
		return l
	}
	var rest taskList
	for _, s := range l.spans {
		for len(indexes) > 0 && indexes[0] < s.end {
			rest = rest.with(span{s.first, indexes[0]})
			s.first = max(s.first, indexes[0]+1)
			indexes = indexes[1:]
		}
		rest = rest.with(s)
	}

	return rest
}

// with returns the list with a span that follows its last one, unless that is empty.
func (l taskList) with(s span) taskList {
	if s.first < s.end {
		l.spans = append(l.spans, s)
		l.count += s.end - s.first
	}

	return l
}
