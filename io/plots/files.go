package plots

// sharesFile is the file name of the plot of replica read shares.
const sharesFile = "replicaShare.png"

// latencyFile returns the file name of the latency plot of the run.
func latencyFile(run Run) string { return run.Name + "-latency.png" }

// timelineFile returns the file name of the failover timeline of the run.
func timelineFile(run Run) string { return run.Name + "-timeline.png" }
