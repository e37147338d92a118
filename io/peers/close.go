package peers

import "io"

// closeQuietly closes something that is not needed any more and ignores the error, such as that it was closed before.
func closeQuietly(c io.Closer) { _ = c.Close() }
