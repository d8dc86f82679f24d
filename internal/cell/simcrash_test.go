package cell_test

import (
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// simCrashes holds the crashes of workers and the tasks that cause them.
type simCrashes struct {
	// drawDeadly is set if some of the submitted jobs have deadly tasks: tasks
	// that crash each worker that starts them.
	drawDeadly bool
	// prompt is set if owners lose no call and no answer.
	prompt bool
	deadly map[workload.JobID]deadlyStep
	// history holds the accepted starts of each task and the crashes under it.
	history map[workload.TaskID][]*taskEvent
	// workersLost counts the crashes under each task, whether an owner can
	// know of them or not.
	workersLost map[workload.TaskID]int
	// ifKept holds the violations that count unless their job is given up.
	ifKept map[workload.JobID]string
	// hidden holds the crashes that an owner cannot know of yet.
	hidden []hiddenCrash
}

func newSimCrashes() simCrashes {
	return simCrashes{
		deadly: make(map[workload.JobID]deadlyStep), history: make(map[workload.TaskID][]*taskEvent),
		workersLost: make(map[workload.TaskID]int), ifKept: make(map[workload.JobID]string),
	}
}

// deadlyStep tells which tasks of a job are deadly, in all its occurrences.
type deadlyStep struct {
	step int
	// index is the number of the deadly task; if all is set, all tasks of the
	// step are deadly.
	index int
	all   bool
	// late is set if a run crashes its worker only after a while.
	late bool
}

const (
	maxDeadlyJobs = 2
	// never is longer than any simulation.
	never = 24 * time.Hour
	// longestPromptReturn is the longest time that a crashed worker is away
	// and back before its lease has expired.
	longestPromptReturn = 4 * time.Second
)

// drawDeadly makes tasks of a job deadly, in some jobs.
func (w *simulation) drawDeadly(j *workload.Job) {
	if !w.crashes.drawDeadly || len(w.crashes.deadly) >= maxDeadlyJobs || rapid.IntRange(0, 1).Draw(w.t, "deadly") == 0 {
		return
	}
	d := deadlyStep{step: rapid.IntRange(0, len(j.Steps)-1).Draw(w.t, "deadlyStep")}
	d.index = rapid.IntRange(0, j.Steps[d.step].Tasks-1).Draw(w.t, "deadlyTask")
	d.all = rapid.Bool().Draw(w.t, "allDeadly")
	d.late = rapid.IntRange(0, 2).Draw(w.t, "crashesLate") == 0
	w.crashes.deadly[j.ID] = d
}

func (w *simulation) hasDeadlyTask(id workload.JobID) bool {
	_, deadly := w.crashes.deadly[id]
	return deadly
}

func (w *simulation) isDeadly(id workload.TaskID) bool {
	d, known := w.crashes.deadly[id.Job]
	return known && d.step == id.Step && (d.all || d.index == id.Index)
}

// blocksEnd reports whether a run of a task can only end with a crash of a
// worker: the task is deadly or belongs to a gang with a deadly task.
func (w *simulation) blocksEnd(id workload.TaskID) bool {
	d, known := w.crashes.deadly[id.Job]
	return w.isDeadly(id) || known && d.step == id.Step && w.step(id).Gang
}

// drawCrash draws when a run that begins now crashes its worker; zero if its
// task is not deadly.
func (w *simulation) drawCrash(id workload.TaskID) time.Time {
	switch {
	case !w.isDeadly(id):
		return time.Time{}
	case w.crashes.deadly[id.Job].late:
		return w.now.Add(w.drawDuration("crashAfter", 500, 3000))
	}
	return w.now.Add(w.drawDuration("crashAfter", 0, 100))
}

// crashDeadly crashes the workers whose deadly runs are due.
func (w *simulation) crashDeadly() {
	for _, s := range w.live() {
		for _, id := range sortedTasks(s.runs) {
			if r, there := s.runs[id]; there && !r.crashAt.IsZero() && !w.now.Before(r.crashAt) {
				w.crash(s)
			}
		}
	}
}

// crashAny crashes a worker for a reason of its own.
func (w *simulation) crashAny() {
	if s := w.anyWorker(); !s.replaced && !s.dead {
		w.crash(s)
	}
}

// crash ends the process of a worker, and with it all runs there. Its machine
// is back later, with the same worker or, more often, with a new one.
func (w *simulation) crash(s *simWorker) {
	w.expire(s)
	sameID := rapid.IntRange(0, 3).Draw(w.t, "sameID") == 0
	away := w.goDown(s)
	w.noteCrash(s, away)
	w.loseRuns(s)
	if sameID {
		s.machine.restarting = s
	} else if rapid.Bool().Draw(w.t, "lapsesFirst") {
		w.unlist(s)
	}
}

// exit ends the process of a worker that was told to leave, which is no crash.
func (w *simulation) exit() {
	s := w.anyWorker()
	if s.replaced || s.dead || !s.leaving {
		return
	}
	w.expire(s)
	w.goDown(s)
	w.loseRuns(s)
	w.unlist(s)
}

// goDown takes the process of a worker down and returns for how long its
// machine is away.
func (w *simulation) goDown(s *simWorker) time.Duration {
	away := w.drawDuration("away", 100, 9000)
	s.dead = true
	s.machine.back = w.now.Add(away)
	return away
}

// loseRuns removes the runs and ends of a worker whose process has ended.
func (w *simulation) loseRuns(s *simWorker) {
	for id, r := range s.runs {
		w.breakGang(id, r)
	}
	s.runs, s.ends = make(map[workload.TaskID]*simRun), nil
}

// unlist removes the entry of a worker that does not come back.
func (w *simulation) unlist(s *simWorker) {
	s.replaced, s.cut = true, true
	for _, o := range w.owners {
		o.cell.Unlist(w.now, s.id)
	}
}

// lapse removes the entry of a worker that works on, or restores it.
func (w *simulation) lapse() {
	s := w.anyWorker()
	if s.replaced || s.dead {
		return
	}
	if s.lapsed = !s.lapsed; s.lapsed {
		w.owner().cell.Unlist(w.now, s.id)
		return
	}
	w.owner().cell.Register(w.now, w.registration(s))
}

// restartCrashed brings a crashed worker back under its ID.
func (w *simulation) restartCrashed(m *simMachine) {
	s := m.restarting
	m.restarting = nil
	s.dead, s.cut = false, false
	w.beginIncarnation(s)
}

// unlistCrashed removes the entry of the earlier worker of a machine that is
// back with a new one.
func (w *simulation) unlistCrashed(m *simMachine, current *simWorker) {
	for _, s := range w.live() {
		if s.machine == m && s != current {
			w.unlist(s)
		}
	}
}

// unreachable reports whether calls to a worker get no answer.
func (s *simWorker) unreachable() bool { return s.cut || s.dead }

// stepsToFinish is how many steps without faults all jobs may take to end.
// Deadly tasks take machines away while they are found out.
func (w *simulation) stepsToFinish() int {
	if len(w.crashes.deadly) > 0 {
		return 2400
	}
	return 900
}
