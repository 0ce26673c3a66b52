//! Measured costs against a size: series of points, their least-squares fits, and the slopes file that stores them.

mod faults;
mod file;
mod fit;
mod read;
mod series;

pub use faults::{Fault, SlopesError};
pub use file::{Recorded, SlopesFile, Stamp};
pub use fit::{Estimate, Fit, Reach, Shape, Verdict, MIN_SIZES};
pub use read::read_series;
pub use series::{write_series, Method, Point, Series};

#[cfg(test)]
mod tests;
