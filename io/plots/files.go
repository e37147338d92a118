package plots

// sharesFile is the file name of the plot of replica shares.
const sharesFile = "replicaShare.png"

// latencyFile returns the file name of the run's latency plot.
func latencyFile(run Run) string { return run.Name + "-latency.png" }

// timelineFile returns the file name of the run's failover timeline.
func timelineFile(run Run) string { return run.Name + "-timeline.png" }
