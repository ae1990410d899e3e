use std::error::Error;
use std::fmt;
use std::str::FromStr;

/// The largest factor; a larger one is more likely a mistake in the settings.
const FAR_FACTOR_MAX: f64 = 100.0;

/// How many times as long a task runs away from its data, or a gang on more than one rack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FarFactor(f64);

/// The reason why a number is no factor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FarFactorError;

impl FarFactor {
    /// Returns the factor as a number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for FarFactor {
    type Error = FarFactorError;

    fn try_from(factor: f64) -> Result<Self, FarFactorError> {
        match (1.0..=FAR_FACTOR_MAX).contains(&factor) {
            true => Ok(Self(factor)),
            false => Err(FarFactorError),
        }
    }
}

impl FromStr for FarFactor {
    type Err = FarFactorError;

    fn from_str(text: &str) -> Result<Self, FarFactorError> {
        let factor: f64 = text.parse().map_err(|_| FarFactorError)?;
        Self::try_from(factor)
    }
}

impl fmt::Display for FarFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for FarFactorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "must be from 1 to {FAR_FACTOR_MAX}")
    }
}

impl Error for FarFactorError {}
