//! A replicated log under a quorum, free of I/O.
