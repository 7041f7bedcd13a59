//! Share of one class in the starts that several classes compete for.

/// Credit that is spent on one start ahead of more urgent work, in percent of a start.
const CREDIT_START: u32 = 100;

/// Maximum credit of a class. Without it, shares that add up to more than 100 percent would let credits grow without
/// bound.
const MAX_CREDIT: u32 = 10 * CREDIT_START;

/// The value 1 in the fixed-point representation of [`Share::portion`].
pub const PORTION_ONE: u64 = 1 << 16;

/// Smoothing factor of the observed portion: one start has the weight `1 / (1 << PORTION_SHIFT)`.
const PORTION_SHIFT: u32 = 5;

/// Guaranteed share of a class, the part of it that is not used yet, and the portion of starts that the class got.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    /// Guaranteed share of the contested starts, in percent.
    percent: u32,
    /// Part of the share that is not used yet, in percent of a start.
    credit: u32,
    /// Smoothed portion of the recent contested starts that went to this class, in units of `1 / PORTION_ONE`.
    portion: u64,
}

impl Share {
    /// Returns the share of a class that is guaranteed `percent` of the contested starts.
    #[must_use]
    pub fn new(percent: u8) -> Self {
        Self { percent: u32::from(percent), credit: 0, portion: PORTION_ONE }
    }

    /// Returns the part of the share that is not used yet, in percent of a start.
    #[must_use]
    pub const fn credit(&self) -> u32 {
        self.credit
    }

    /// Returns true when the credit is enough for a start ahead of more urgent classes.
    #[must_use]
    pub const fn has_start(&self) -> bool {
        self.credit >= CREDIT_START
    }

    /// Accounts for a start that this class competed for. `won` is true when it got the start.
    pub fn record_start(&mut self, won: bool) {
        self.credit = (self.credit + self.percent).min(MAX_CREDIT);
        if won {
            self.credit = self.credit.saturating_sub(CREDIT_START);
        }
    }

    /// Updates the observed portion by a start that this class competed for.
    pub const fn observe_start(&mut self, won: bool) {
        self.portion -= self.portion >> PORTION_SHIFT;
        self.portion += if won { PORTION_ONE >> PORTION_SHIFT } else { 0 };
    }

    /// Gives up the credit, because no work of the class waits.
    pub const fn clear(&mut self) {
        self.credit = 0;
    }

    /// Returns the portion of starts that the class can expect, in units of `1 / PORTION_ONE`, at least 1.
    #[must_use]
    pub fn portion(&self) -> u64 {
        self.portion.clamp(1, PORTION_ONE)
    }
}
