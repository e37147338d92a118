package main

import (
	"fmt"
	"maps"
	"strings"
	"time"
)

// promises are the answers after which nothing of the client's attempt may be kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MOVED": true, "MAXCONN": true}

// thawSlack is thawSlackMs of the settings: a sender on a link that was disrupted so shortly before is not counted for ONE.
const thawSlack = 300 * time.Millisecond

// acknowledged is a commit that was acknowledged to its client.
type acknowledged struct {
	entry *entry
	at    time.Time
	by    *client
}

// check checks the rules on statements over all that was sent and run.
func (b *bed) check() {
	b.mu.Lock()
	runs, sent := b.runs, b.sent
	b.mu.Unlock()
	final := map[string]map[*entry]bool{}
	for name, g := range b.services {
		g.mu.Lock()
		final[name] = map[*entry]bool{}
		for _, e := range g.primary.log {
			final[name][e] = true
		}
		g.mu.Unlock()
	}
	commits := map[string][]acknowledged{}
	reads := 0
	for id, list := range runs {
		if id == "-" {
			b.broken("UNASKED", "a statement that no client sent: "+list[0].text)
			continue
		}
		q := sent[id]
		if q == nil {
			b.broken("UNASKED", "a statement with an id that no client sent: "+list[0].text)
			continue
		}
		kept := 0
		for _, r := range list {
			if r.committed != nil && final[r.member.service.name][r.committed] {
				kept++
			}
			b.checkRun(q, r)
		}
		if kept > 1 {
			b.broken("TWICE", fmt.Sprint(id, " ", q.text, " took effect ", kept, " times"))
		}
		if kept > 0 && promises[q.answer.code] {
			b.broken("REFUSED", fmt.Sprint(id, " ", q.text, " was answered with ", q.answer.code, " and is kept"))
		}
		if q.answer.code == "" {
			own := false
			for _, r := range list {
				own = own || r.signature == q.answer.signature && strings.Join(r.rows, "\n") == strings.Join(q.answer.rows, "\n")
				if r.committed != nil && r.signature == q.answer.signature && !q.answered.IsZero() {
					if r.late && r.at.After(r.member.cutUntil.Add(thawSlack)) {
						b.broken("ONE", fmt.Sprint(id, " ", q.text, " was committed at ", r.member.id, " in term ", r.term,
							" after another member was promoted, and acknowledged"))
					}
					commits[q.route.service] = append(commits[q.route.service], acknowledged{r.committed, q.answered, q.client})
				}
			}
			if !own {
				b.broken("MIXED", id+" "+q.text+" was answered with another signature or rows: "+q.answer.signature)
			}
		}
	}
	for id, q := range sent {
		verb, _, _ := strings.Cut(q.text, " ")
		needs := verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT"
		if needs && q.answer.code == "" && !q.answered.IsZero() && len(runs[id]) == 0 {
			b.broken("MIXED", id+" "+q.text+" succeeded and no member ran it")
		}
	}
	for id, list := range runs {
		q := sent[id]
		if q == nil {
			continue
		}
		for _, r := range list {
			if verb, _, _ := strings.Cut(q.text, " "); verb == "READ" || strings.HasPrefix(r.shape, "READ") {
				reads++
				b.checkRead(q, r, commits[q.route.service], final[q.route.service])
			}
		}
	}
	n := 0
	for _, list := range commits {
		n += len(list)
	}
	b.record("checked", len(sent), "statements,", reads, "reads run,", n, "acknowledged commits")
	fmt.Println("checked", len(sent), "statements,", reads, "reads run,", n, "acknowledged commits")
}

// checkRun checks that a member ran what the client sent, in the client's session.
func (b *bed) checkRun(q *request, r *run) {
	text := r.text
	if strings.HasPrefix(text, "SYNCAFTER ") {
		text = strings.SplitN(text, " ", 3)[2]
	}
	same := text == q.text
	if strings.HasPrefix(q.text, "EXECUTE ") {
		_, mine, _ := strings.Cut(strings.TrimPrefix(q.text, "EXECUTE "), " ")
		_, its, _ := strings.Cut(strings.TrimPrefix(text, "EXECUTE "), " ")
		same = strings.HasPrefix(text, "EXECUTE ") && mine == its
		if r.shape != q.shape {
			b.broken("PINNED", fmt.Sprint(q.id, " ran ", r.shape, " where its client prepared ", q.shape))
		}
	}
	if !same {
		b.broken("UNASKED", fmt.Sprint(q.id, " ran as ", r.text, " and was sent as ", q.text))
	}
	if r.member.service.name != q.route.service {
		b.broken("ROUTE", q.id+" ran at another service")
	}
	if !maps.Equal(r.values, q.values) {
		b.broken("PINNED", fmt.Sprint(q.id, " ran with the values ", r.values, " where its client has ", q.values))
	}
}

// checkRead checks that the log that a read ran on holds the commits that it must show.
func (b *bed) checkRead(q *request, r *run, commits []acknowledged, final map[*entry]bool) {
	for _, c := range commits {
		if !final[c.entry] {
			continue
		}
		bound := q.began
		if q.route.kind != "primary" {
			bound = bound.Add(-q.route.staleness)
		}
		own := q.route.kind == "read_your_writes" && c.by == q.client && c.at.Before(q.began)
		if !c.at.Before(bound) && !own {
			continue
		}
		if n := c.entry.index; n >= len(r.log) || r.log[n] != c.entry {
			b.broken("STALE", fmt.Sprint(q.id, " ", q.text, " on ", q.route.name, " (", q.route.kind, ") ran on ", r.member.id, " in term ", r.term,
				", without the commit ", c.entry.attempt, " that was acknowledged ", q.began.Sub(c.at).Round(time.Millisecond), " before its first byte"))
			return
		}
	}
}
