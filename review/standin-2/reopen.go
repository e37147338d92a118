package main

import (
	"sync/atomic"
	"time"
)

// cutTime is how long the primary is cut off.
const cutTime = 11950 * time.Millisecond

// reopenedPrimary cuts the primary off from all machines of the system. When another member has been promoted, that one and the third
// are lost for good. Then the cut ends.
func reopenedPrimary(b *bed) {
	b.small(1, "a", "b", "c")
	g := b.services["dba"]
	first := g.members[0]
	time.Sleep(6 * time.Second)
	stop := &atomic.Bool{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; !stop.Load(); n++ {
			b.writeAndRead(n)
		}
	}()
	time.Sleep(2 * time.Second)
	if b.trouble {
		began := time.Now()
		first.cutOff(true)
		b.awaitPrimary(g, first)
		for _, m := range g.members[1:] {
			m.crash()
		}
		time.Sleep(time.Until(began.Add(cutTime)))
		first.cutOff(false)
		time.Sleep(6 * time.Second)
	}
	time.Sleep(2 * time.Second)
	stop.Store(true)
	<-ended
}
