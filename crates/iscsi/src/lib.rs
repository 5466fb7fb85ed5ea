//! iSCSI protocol data units, as bytes: no sockets and no clock.
