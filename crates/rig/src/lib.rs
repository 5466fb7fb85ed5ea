//! Test support: several processes of the program, boxes, discovery, and links that fail.
