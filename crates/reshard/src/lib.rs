//! Plans of where ranges belong, their moves, and who may write where.
