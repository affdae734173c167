//! Typed access to settings in the form of `key=value` lines. Unknown keys are ignored. An error
//! names the key or the line at fault.

use super::PlatformSettingsError;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Settings indexed by key.
pub(super) struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Parses lines of `key=value`. If a key occurs more than once, the last line applies.
    pub(super) fn parse(text: &'a str) -> Result<Self, PlatformSettingsError> {
        text.lines()
            .filter(|line| !line.trim().is_empty())
            .map(|line| {
                line.split_once('=')
                    .ok_or_else(|| PlatformSettingsError::MalformedLine { line: line.into() })
            })
            .collect::<Result<_, _>>()
            .map(KeyValues)
    }

    /// Returns the value of `key` as given.
    pub(super) fn raw(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    /// Parses the value of an optional key.
    pub(super) fn optional<T: FromStr>(
        &self,
        key: &str,
    ) -> Result<Option<T>, PlatformSettingsError> {
        self.raw(key).map(|text| parse_value(key, text)).transpose()
    }

    /// Parses the value of a required key.
    pub(super) fn required<T: FromStr>(&self, key: &str) -> Result<T, PlatformSettingsError> {
        self.optional(key)?
            .ok_or_else(|| PlatformSettingsError::missing(key))
    }

    /// Parses the value of an optional key, whose default is that of its type: `false`, 0 or empty.
    pub(super) fn or_default<T: FromStr + Default>(
        &self,
        key: &str,
    ) -> Result<T, PlatformSettingsError> {
        Ok(self.optional(key)?.unwrap_or_default())
    }

    /// Parses an optional number, which must be finite and not negative.
    pub(super) fn non_negative(&self, key: &str) -> Result<Option<f64>, PlatformSettingsError> {
        let value = self.optional::<f64>(key)?;
        match value {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(PlatformSettingsError::out_of_range(key, number))
            }
            _ => Ok(value),
        }
    }

    /// Parses a required integer, which must be greater than 0.
    pub(super) fn positive(&self, key: &str) -> Result<u64, PlatformSettingsError> {
        match self.required(key)? {
            0 => Err(PlatformSettingsError::out_of_range(key, 0)),
            number => Ok(number),
        }
    }

    /// Parses a required 32-bit integer, which must be greater than 0.
    pub(super) fn positive_u32(&self, key: &str) -> Result<u32, PlatformSettingsError> {
        let number = self.positive(key)?;
        u32::try_from(number).map_err(|_| PlatformSettingsError::out_of_range(key, number))
    }

    /// Returns the items of a list of scalars, without empty ones.
    pub(super) fn list(&self, key: &str) -> Vec<String> {
        let items = self.raw(key).into_iter().flat_map(|text| text.split(','));
        items
            .filter(|item| !item.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// Returns the names of the objects in a list.
    pub(super) fn names(&self, list: &str) -> Result<Vec<String>, PlatformSettingsError> {
        let count = self.or_default::<usize>(&format!("{list}.count"))?;
        (0..count)
            .map(|index| self.required(&format!("{list}.{index}.name")))
            .collect()
    }

    /// Parses one item of a required list of scalars.
    pub(super) fn item<T: FromStr>(
        &self,
        key: &str,
        index: usize,
    ) -> Result<T, PlatformSettingsError> {
        let list = self
            .raw(key)
            .ok_or_else(|| PlatformSettingsError::missing(key))?;
        let item =
            list.split(',')
                .nth(index)
                .ok_or_else(|| PlatformSettingsError::MissingItem {
                    key: key.into(),
                    index,
                })?;
        parse_value(key, item)
    }

    /// Parses one item of a required list of numbers from 0 to 1.
    pub(super) fn ratio_item(&self, key: &str, index: usize) -> Result<f64, PlatformSettingsError> {
        let ratio: f64 = self.item(key, index)?;
        if (0.0..=1.0).contains(&ratio) {
            Ok(ratio)
        } else {
            Err(PlatformSettingsError::out_of_range(key, ratio))
        }
    }

    /// Returns the maximum `Retry-After` in nanoseconds, or `None` if the settings do not allow the
    /// header.
    pub(super) fn max_retry_after(&self) -> Result<Option<u64>, PlatformSettingsError> {
        let maximum = self.or_default("limits.max_retry_after_ns")?;
        let is_allowed = self.or_default::<bool>("limits.retry_after")?;
        Ok((is_allowed && maximum > 0).then_some(maximum))
    }
}

fn parse_value<T: FromStr>(key: &str, text: &str) -> Result<T, PlatformSettingsError> {
    text.parse()
        .map_err(|_| PlatformSettingsError::invalid_value(key, text))
}
