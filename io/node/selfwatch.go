package node

import (
	"context"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/io/meter"
)

const (
	// selfWatchInterval is the time between two measurements of how late the timers of this process fire.
	selfWatchInterval = 250 * time.Millisecond
	// lateTimer is the lateness of a timer from which the process counts as short of processor time. It is a fifth of the time in which
	// an owner must answer a ping.
	lateTimer = pingTimeout / 5
	// lateReportInterval is the shortest time between two log lines about late timers.
	lateReportInterval = time.Second
)

// gcMetric is the processor time that the garbage collector has used.
const gcMetric = "/cpu/classes/gc/total:cpu-seconds"

// selfWatch measures whether this process gets the processor time that it needs, and how old its configuration is. Late answers of an
// instance then show whether it was slow itself.
type selfWatch struct {
	node *Node
	// worstLateness is the latest that a timer has fired, and lateTimers how many fired late; see lateTimer.
	worstLateness atomic.Int64
	lateTimers    atomic.Int64
	// processor is the processor time that the process has used.
	processor atomic.Int64

	reported      time.Time
	reportedUsage processorUsage
	lateness      time.Duration
	// stale is set while the configuration is reported as stale, worstAge its greatest age meanwhile.
	stale    bool
	worstAge time.Duration
}

// processorUsage is the processor time that the process and its garbage collector have used.
type processorUsage struct {
	total, collector time.Duration
}

func newSelfWatch(n *Node) *selfWatch { return &selfWatch{node: n, reported: time.Now()} }

// run measures until the context ends.
func (w *selfWatch) run(ctx context.Context) {
	ticker := time.NewTicker(selfWatchInterval)
	defer ticker.Stop()
	last := w.node.settings.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := w.node.settings.Clock.Now()
		w.observeTimer(now.Sub(last) - selfWatchInterval)
		last = now
		w.observeConfiguration()
	}
}

// observeTimer records how late a timer has fired, and logs it with what the process has used since the last such line.
func (w *selfWatch) observeTimer(late time.Duration) {
	usage := readProcessorUsage()
	w.processor.Store(int64(usage.total))
	w.lateness = max(w.lateness, late)
	if late >= lateTimer {
		w.lateTimers.Add(1)
		w.worstLateness.Store(max(w.worstLateness.Load(), int64(late)))
	}
	period := time.Since(w.reported)
	if period < lateReportInterval {
		return
	}
	n := w.node
	if w.lateness >= lateTimer {
		n.logger.Warn("timers fire late", "late", w.lateness.Round(time.Millisecond).String(), "period", period.Round(time.Millisecond).String(),
			"processor", (usage.total - w.reportedUsage.total).Round(time.Millisecond).String(),
			"collector", (usage.collector - w.reportedUsage.collector).Round(time.Millisecond).String(),
			"allowedMillicores", int(n.settings.Self.Processor), "goroutines", runtime.NumGoroutine(), "databases", n.ownerships.ownedCount())
	}
	w.reported, w.reportedUsage, w.lateness = time.Now(), usage, 0
}

// observeConfiguration logs when the configuration becomes stale and when it is fresh again.
func (w *selfWatch) observeConfiguration() {
	n := w.node
	age, known := n.storeSync.freshness.Age()
	if !known {
		return
	}
	if age < outdatedAge {
		if w.stale {
			n.logger.Info("configuration fresh again", "version", n.configurationVersion(), "worstAge", w.worstAge.Round(time.Millisecond).String())
		}
		w.stale, w.worstAge = false, 0
		return
	}
	w.worstAge = max(w.worstAge, age)
	if w.stale {
		return
	}
	w.stale = true
	now := n.settings.Clock.Now()
	n.logger.Warn("configuration stale", "version", n.configurationVersion(), "age", age.Round(time.Millisecond).String(),
		"behind", n.storeSync.backlog.Lasts().Round(time.Millisecond).String(),
		"storeReader", n.isStoreReader(), "readersAnswer", n.storeSync.readerAnswered.isWithin(readerAnswerPeriod, now),
		"storeServes", n.storeSync.ownServed.isWithin(servedPeriod, now))
}

// counters returns what the metrics address shows of the measurements.
func (w *selfWatch) counters() []meter.CounterFunc {
	return []meter.CounterFunc{
		{
			Name: "processor_milliseconds", Description: "Processor time that the process has used, in milliseconds.",
			Read: func() int64 { return time.Duration(w.processor.Load()).Milliseconds() },
		},
		{Name: "late_timers", Description: "Timers that fired so late that the process was short of processor time.", Read: w.lateTimers.Load},
		{
			Name: "timer_lateness_worst_milliseconds", Description: "The latest that a timer of the process has fired, in milliseconds.",
			Read: func() int64 { return time.Duration(w.worstLateness.Load()).Milliseconds() },
		},
	}
}

// readProcessorUsage reads what the process has used. A figure that the system does not give stays zero.
func readProcessorUsage() processorUsage {
	collector := []metrics.Sample{{Name: gcMetric}}
	metrics.Read(collector)
	usage := processorUsage{total: clock.ProcessorTime()}
	if collector[0].Value.Kind() == metrics.KindFloat64 {
		usage.collector = time.Duration(collector[0].Value.Float64() * float64(time.Second))
	}
	return usage
}
