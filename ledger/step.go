package ledger

import "slices"

// chunkTasks is the number of tasks whose states are allocated together.
const chunkTasks = 64

// StepKey identifies a step within an occurrence of a job.
type StepKey struct {
	Occurrence int
	Step       int
}

// StepState is the logged state of a step of an occurrence; tasks without logged changes take no memory.
type StepState struct {
	// Count is the number of tasks, Done that of completed ones.
	Count, Done int
	// chunks has the states of the tasks in their order, chunkTasks in each chunk. It ends after the last changed task, and chunks
	// without changed tasks are nil.
	chunks [][]TaskState
}

// task returns the state of a task, creating it if needed.
func (st *StepState) task(index int) *TaskState {
	at := index / chunkTasks
	for len(st.chunks) <= at {
		st.chunks = append(st.chunks, nil)
	}
	if st.chunks[at] == nil {
		st.chunks[at] = make([]TaskState, min(chunkTasks, st.Count-at*chunkTasks))
	}

	return &st.chunks[at][index%chunkTasks]
}

// Recorded iterates over the tasks that may have logged changes, in their order. All others have not begun.
func (st StepState) Recorded(yield func(int, *TaskState) bool) {
	for at, chunk := range st.chunks {
		for n := range chunk {
			if !yield(at*chunkTasks+n, &chunk[n]) {
				return
			}
		}
	}
}

// clone returns a deep copy.
func (st StepState) clone() StepState {
	st.chunks = slices.Clone(st.chunks)
	for i := range st.chunks {
		st.chunks[i] = slices.Clone(st.chunks[i])
		for n := range st.chunks[i] {
			t := &st.chunks[i][n]
			t.Live = slices.Clone(t.Live)
			t.LostStarts = slices.Clone(t.LostStarts)
			t.Crashes = slices.Clone(t.Crashes)
		}
	}

	return st
}
