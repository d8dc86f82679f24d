package cell

import (
	"testing"

	"pgregory.net/rapid"
)

// The records of a commit share one buffer: a list must neither overlap another one nor
// have anything of an earlier commit.
func TestListsOfARecordBufferAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buffer recordBuffer
		for range rapid.IntRange(1, 5).Draw(t, "commits") {
			sizes := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 20).Draw(t, "sizes")
			if rapid.Bool().Draw(t, "long") {
				sizes = append(sizes, maxRecordBuffer+1)
			}
			lists := make([][]TaskRecord, len(sizes))
			for i, size := range sizes {
				lists[i] = buffer.take(size)
				for n, task := range lists[i] {
					if task.LastRun != 0 || task.Run != 0 {
						t.Fatalf("task %d of list %d is %+v before it is set", n, i, task)
					}
					lists[i][n] = TaskRecord{LastRun: i + 1, Run: n + 1}
				}
			}
			for i, list := range lists {
				if len(list) != sizes[i] || cap(list) != sizes[i] {
					t.Fatalf("list %d has %d tasks and space for %d; want %d", i, len(list), cap(list), sizes[i])
				}
				for n, task := range list {
					if task.LastRun != i+1 || task.Run != n+1 {
						t.Fatalf("task %d of list %d was overwritten: %+v", n, i, task)
					}
				}
			}
			buffer.reuse()
			if cap(buffer.tasks) > maxRecordBuffer {
				t.Fatalf("a buffer for %d tasks is kept", cap(buffer.tasks))
			}
		}
	})
}
