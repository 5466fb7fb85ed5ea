//! Hosts of what fronts settle among themselves: sockets, threads, disk.
