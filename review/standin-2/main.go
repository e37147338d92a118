package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func main() {
	cases := map[string]func(*bed){
		"reopened-primary": reopenedPrimary, "abandoned-branch": abandonedBranch, "own-transaction": ownTransaction, "owner-transaction": ownerTransaction,
	}
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: bed CASE")
		os.Exit(2)
	}
	b := newBed()
	time.AfterFunc(115*time.Second, func() { b.cannotRun("it takes too long") })
	cases[os.Args[1]](b)
	b.check()
	b.finish()
}

// small sets up a small deployment: services with three members each, one in each zone, and instances in the zones.
func (b *bed) small(services int, zones ...string) {
	for n := range services {
		name := fmt.Sprintf("db%c", 'a'+n)
		order := []string{"a", "b", "c", "a", "b"}[n : n+3]
		b.services[name] = newService(b, name, order, 2, 6*time.Millisecond, 60*time.Millisecond, 16)
		b.routes = append(
			b.routes,
			route{name: name + "p", kind: "primary", service: name, timeout: 800 * time.Millisecond, priority: 1},
			route{name: name + "s", kind: "bounded_staleness", service: name, timeout: 1200 * time.Millisecond, staleness: 1500 * time.Millisecond, priority: 2},
			route{name: name + "w", kind: "read_your_writes", service: name, timeout: 800 * time.Millisecond, staleness: 2500 * time.Millisecond, priority: 2},
		)
	}
	b.configure()
	b.startInstances(zones...)
	b.awaitReady()
}

const (
	// grace is graceS of the settings, in half of which an open transaction may end.
	grace = 6 * time.Second
	// pauseInTransaction is the time between two statements of the transaction, of which it has twelve with
	// its BEGIN.
	pauseInTransaction = 285 * time.Millisecond
)

// longTransaction runs a transaction of twelve statements, sends SIGTERM to the machine after the first of them, and says that the rule is
// broken when a statement that is sent in the first half of graceS does not succeed.
func (b *bed) longTransaction(client *client, machine *instance) {
	stopped := time.Now()
	client.ask("BEGIN")
	for n := range 11 {
		if n == 1 {
			if stopped = time.Now(); b.trouble {
				machine.signal(syscall.SIGTERM)
			}
		}
		if n > 0 {
			time.Sleep(time.Until(stopped.Add(time.Duration(n) * pauseInTransaction)))
		}
		text := fmt.Sprintf("WRITE item%d data%d", n, n)
		if n == 10 {
			text = "COMMIT"
		}
		since := time.Since(stopped)
		if since >= grace/2 {
			b.cannotRun("the machine is too slow: a statement would be sent after the first half of graceS")
		}
		a := client.ask(text)
		if a.code == "" {
			continue
		}
		if n == 0 {
			b.cannotRun("the first statement does not succeed: " + a.code + " " + a.text)
		}
		b.broken("DRAIN", fmt.Sprintf("statement %d after the BEGIN of an open transaction, sent %d ms after the SIGTERM of %s, was answered with %s %s; graceS is %d ms",
			n+1, since.Milliseconds(), machine.name, a.code, a.text, grace.Milliseconds()))
		return
	}
}

// ownTransaction stops the machine that took the transaction from its client.
func ownTransaction(b *bed) {
	b.small(1, "a", "a", "b", "c")
	time.Sleep(9 * time.Second)
	owner := b.owner("dba")
	for _, i := range b.instances {
		if i != owner {
			c, err := b.dial(i, b.routes[0])
			b.must(err)
			b.longTransaction(c, i)
			return
		}
	}
}

// ownerTransaction stops the machine that owns the database, while the client's own machine runs on.
func ownerTransaction(b *bed) {
	b.small(1, "a", "a", "b", "c")
	time.Sleep(9 * time.Second)
	owner := b.owner("dba")
	if owner == nil {
		b.cannotRun("the database has no owner")
	}
	for _, i := range b.instances {
		if i != owner {
			c, err := b.dial(i, b.routes[0])
			b.must(err)
			b.longTransaction(c, owner)
			return
		}
	}
}
