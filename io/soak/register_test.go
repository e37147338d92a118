package soak_test

import (
	"sync"
	"time"
)

// register is an item to which one caller writes increasing numbers.
type register struct {
	item string

	mu sync.Mutex
	// attempted is the number that next returned last.
	attempted int
	// commits are in ascending order of their numbers.
	commits []commit
}

// commit is an acknowledged number and the time when its acknowledgement arrived.
type commit struct {
	number         int
	acknowledgedAt time.Time
}

// next returns the next number to write.
func (r *register) next() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempted++
	return r.attempted
}

// recordCommit records that the number was acknowledged now.
func (r *register) recordCommit(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commits = append(r.commits, commit{number, time.Now()})
}

// acknowledgedBy returns the newest number that was acknowledged before the moment, or 0.
func (r *register) acknowledgedBy(moment time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := len(r.commits) - 1; n >= 0; n-- {
		if r.commits[n].acknowledgedAt.Before(moment) {
			return r.commits[n].number
		}
	}
	return 0
}
