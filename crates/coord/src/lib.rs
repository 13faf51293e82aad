//! Coordination parts for others to embed, free of clocks and sockets.
