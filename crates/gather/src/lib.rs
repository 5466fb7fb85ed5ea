//! Answers that are gathered from parts, in time, and perhaps in part.
