package peers

import "io"

// closeQuietly closes what is of no more use, whether or not it was closed before.
func closeQuietly(c io.Closer) { _ = c.Close() }
