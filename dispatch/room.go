package dispatch

// Room describes the workers for a step, and how many of its tasks have room on them,
// whether or not the room is reserved. A worker that is not open has no room.
type Room struct {
	// Allowed is the number of workers that policy is known to allow, Ticketed how many of
	// them have a valid ticket, and Asked the number of workers on which advice is known.
	// They are 0 for a step that needs no tickets.
	Allowed, Ticketed, Asked int
	// Tasks is the number of tasks with room on the workers that are allowed, and
	// TicketedTasks on those with a ticket. PossibleTasks also counts the workers on which
	// advice is not known.
	Tasks, TicketedTasks, PossibleTasks int
}

// RoomOn returns the room that workers have for the step.
func (s *Step) RoomOn(workers []Worker) Room {
	found := s.findRoom(workers)
	if !s.NeedsTickets {
		return Room{Tasks: found.spread, TicketedTasks: found.spread, PossibleTasks: found.spread}
	}
	r := Room{Allowed: len(s.Candidates), Tasks: found.spread, TicketedTasks: found.ticketed, PossibleTasks: found.possible}
	if s.Candidates == nil {
		r.Tasks = 0
	}
	for _, c := range s.Candidates {
		if c.HasTicket {
			r.Ticketed++
		}
	}
	for i := range workers {
		if s.AdviceKnown != nil && s.AdviceKnown(i) {
			r.Asked++
		}
	}
	return r
}

// roomFound is the room for a step.
type roomFound struct {
	// matching reports whether an open worker has the service and the label and is large
	// enough.
	matching bool
	// room is how many tasks have room, whether or not it is reserved, spread how many of
	// them within MaxPerWorker, and ticketed how many of those with a ticket. Workers that
	// policy does not allow do not count once there is advice. Each is at most the number
	// of tasks for one worker.
	room, spread, ticketed int
	// possible is spread and the same for the workers on which advice is not known.
	possible int
}

// findRoom determines the room that workers have for the step.
func (s *Step) findRoom(workers []Worker) roomFound {
	var f roomFound
	allowed, ticketed := make([]bool, len(workers)), make([]bool, len(workers))
	for _, c := range s.Candidates {
		allowed[c.Worker], ticketed[c.Worker] = true, c.HasTicket
	}
	for i := range workers {
		w := &workers[i]
		if !w.Open || !s.matches(w) || !s.Needs.Fits(w.Capacity) {
			continue
		}
		f.matching = true
		refused := s.NeedsTickets && s.Candidates != nil && !allowed[i]
		if refused && s.AdviceKnown != nil && s.AdviceKnown(i) {
			continue
		}
		room := tasksIn(w.Free, s.Needs, s.Tasks)
		spread := room
		if s.MaxPerWorker > 0 {
			spread = max(0, min(room, s.MaxPerWorker-s.Placed[i]))
		}
		f.possible += spread
		if refused {
			continue
		}
		f.room += room
		f.spread += spread
		if ticketed[i] {
			f.ticketed += spread
		}
	}
	return f
}
