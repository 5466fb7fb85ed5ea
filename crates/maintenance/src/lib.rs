//! Boxes taken out for work, in an order that the fronts settle.
