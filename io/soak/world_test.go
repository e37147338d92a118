package soak_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/fakepl"
)

const (
	// replicaLag is how late replicas apply; it is far below the age that bounded routes allow.
	replicaLag = 200 * time.Millisecond
	// graceSeconds is the time from the signal to stop until the process would be killed, in seconds.
	graceSeconds = 4
	// ownerKey is where the store holds the owner of the database.
	ownerKey = "turmericpulley/owners/db1"
)

// instance is one process with the links on its ways.
type instance struct {
	name    string
	process *check.Process
	// callerLink and store are the ways from its callers and to the platform.
	callerLink *check.Link
	storeLink  *check.Link
	// faultMu is held while a fault works at the process.
	faultMu sync.Mutex
}

// environment is a platform with instances as separate processes.
type environment struct {
	t         *testing.T
	platform  *fakepl.Site
	instances []*instance
	started   time.Time
	// memberFaultMu is held while a fault works at a member: at most one of three is harmed.
	memberFaultMu sync.Mutex

	mu      sync.Mutex
	version int
}

func newEnvironment(t *testing.T, count int) *environment {
	t.Helper()
	site, err := fakepl.NewSite(replicaLag)
	require.NoError(t, err)
	t.Cleanup(site.Close)
	w := &environment{t: t, platform: site, started: time.Now(), version: 1}
	for n := range count {
		name := fmt.Sprintf("n%d", n+1)
		boot, err := site.WriteSettings(t.TempDir(), name, graceSeconds, check.NewAddresses(t, fakepl.AddressesPerInstance))
		require.NoError(t, err)
		i := &instance{name: name, callerLink: check.NewLink(t, name+"-callers", boot.CallerAddress), storeLink: check.NewLink(t, name+"-store", site.Address())}
		settings, err := os.ReadFile(boot.Path)
		require.NoError(t, err)
		settings = bytes.ReplaceAll(settings, []byte(site.Address()), []byte(i.storeLink.Address()))
		require.NoError(t, os.WriteFile(boot.Path, settings, 0o600))
		i.process = check.NewProcess(t, name, "instance", "--settings="+boot.Path)
		w.instances = append(w.instances, i)
	}
	w.awaitRecovery(recoveryTimeout)
	return w
}

func (w *environment) elapsed() time.Duration { return time.Since(w.started).Round(time.Millisecond) }

func (w *environment) randomInstance(r *rand.Rand) *instance {
	return w.instances[r.IntN(len(w.instances))]
}

// withProcess works at one process that no other fault works at.
func (w *environment) withProcess(r *rand.Rand, work func(i *instance)) {
	if i := w.randomInstance(r); i.faultMu.TryLock() {
		defer i.faultMu.Unlock()
		work(i)
	}
}

// withAll works at all processes once no other fault does.
func (w *environment) withAll(work func(all []*instance)) {
	for _, i := range w.instances {
		i.faultMu.Lock()
		defer i.faultMu.Unlock()
	}
	work(w.instances)
}

// withMember works at one member, often the primary, unless another fault works at a member.
func (w *environment) withMember(r *rand.Rand, work func(member string)) {
	if !w.memberFaultMu.TryLock() {
		return
	}
	defer w.memberFaultMu.Unlock()
	member := fmt.Sprintf("i-%d", r.IntN(3)+1)
	if r.IntN(2) == 0 {
		member = w.platform.Group.Primary()
	}
	work(member)
}

// withStoreLinkFault harms the way of one instance to the platform for a while.
func (w *environment) withStoreLinkFault(r *rand.Rand, how func(l *check.Link)) {
	l := w.randomInstance(r).storeLink
	how(l)
	time.Sleep(randomDuration(r))
	l.Heal()
}

// configure writes the next version, whose newest route has the version in its name.
func (w *environment) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.platform.Configure(w.version, 800, fmt.Sprintf("added%d", w.version))
}

// restart starts a crashed member again; its port may still be taken for a moment.
func (w *environment) restart(member string) {
	for range 50 {
		if w.platform.Group.Member(member).Restart() == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Errorf("member %s did not start again", member)
}

// awaitExit waits until the process has ended.
func (w *environment) awaitExit(i *instance, limit time.Duration) {
	for until := time.Now().Add(limit); i.process.Running(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			w.t.Errorf("%s did not end within %s of the signal to stop", i.name, limit)
			i.process.Kill()
			return
		}
	}
}

// heal removes what faults may have left.
func (w *environment) heal() {
	for _, i := range w.instances {
		i.callerLink.Heal()
		i.storeLink.Heal()
	}
}

// awaitRecovery waits until every instance serves a write.
func (w *environment) awaitRecovery(limit time.Duration) {
	w.t.Helper()
	until := time.Now().Add(limit)
	for _, i := range w.instances {
		require.Eventually(w.t, func() bool { return fakepl.StatementSucceeds(i.callerLink.Address(), "primary", "WRITE warm x") },
			time.Until(until), 20*time.Millisecond, "%s serves again", i.name)
	}
}

// check checks the newest configuration and the order of the promotions' tokens.
func (w *environment) check() {
	w.t.Helper()
	w.configure()
	until := time.Now().Add(configurationTimeout)
	for _, i := range w.instances {
		newest := fmt.Sprintf("added%d", w.version)
		require.Eventually(w.t, func() bool { return fakepl.SessionOpens(i.callerLink.Address(), newest) },
			time.Until(until), 20*time.Millisecond, "version %d is in force at %s", w.version, i.name)
	}
	tokens := w.platform.Group.PromotionTokens()
	for n := 1; n < len(tokens); n++ {
		require.GreaterOrEqual(w.t, tokens[n], tokens[n-1], "tokens of promotions never go back")
	}
}
