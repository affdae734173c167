//! The settings' text as keys and values, with typed access. Unknown keys are skipped; each error
//! names the key at fault.

use super::PlatformSettingsError;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Settings by their keys.
pub(super) struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Splits the text into lines of `key=value`; of two lines with one key, the last counts.
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

    /// The value as it is given.
    pub(super) fn raw(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }

    /// An optional value.
    pub(super) fn optional<T: FromStr>(
        &self,
        key: &str,
    ) -> Result<Option<T>, PlatformSettingsError> {
        self.raw(key).map(|text| parse_value(key, text)).transpose()
    }

    /// A value that has to be there.
    pub(super) fn required<T: FromStr>(&self, key: &str) -> Result<T, PlatformSettingsError> {
        self.optional(key)?
            .ok_or_else(|| PlatformSettingsError::missing(key))
    }

    /// A value whose default is that of its type: false, 0 or empty.
    pub(super) fn or_default<T: FromStr + Default>(
        &self,
        key: &str,
    ) -> Result<T, PlatformSettingsError> {
        Ok(self.optional(key)?.unwrap_or_default())
    }

    /// An optional number that is finite and not negative.
    pub(super) fn non_negative(&self, key: &str) -> Result<Option<f64>, PlatformSettingsError> {
        let value = self.optional::<f64>(key)?;
        match value {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(PlatformSettingsError::out_of_range(key, number))
            }
            _ => Ok(value),
        }
    }

    /// A required integer above zero.
    pub(super) fn positive(&self, key: &str) -> Result<u64, PlatformSettingsError> {
        match self.required(key)? {
            0 => Err(PlatformSettingsError::out_of_range(key, 0)),
            number => Ok(number),
        }
    }

    /// A required integer above zero, of 32 bits.
    pub(super) fn positive_u32(&self, key: &str) -> Result<u32, PlatformSettingsError> {
        let number = self.positive(key)?;
        u32::try_from(number).map_err(|_| PlatformSettingsError::out_of_range(key, number))
    }

    /// The items of a list of scalars.
    pub(super) fn list(&self, key: &str) -> Vec<String> {
        let items = self.raw(key).into_iter().flat_map(|text| text.split(','));
        items
            .filter(|item| !item.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// The names of a list of objects.
    pub(super) fn names(&self, list: &str) -> Result<Vec<String>, PlatformSettingsError> {
        let count = self.or_default::<usize>(&format!("{list}.count"))?;
        (0..count)
            .map(|index| self.required(&format!("{list}.{index}.name")))
            .collect()
    }

    /// One item of a required list of scalars.
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

    /// One item of a required list of numbers from 0 to 1.
    pub(super) fn ratio_item(&self, key: &str, index: usize) -> Result<f64, PlatformSettingsError> {
        let ratio: f64 = self.item(key, index)?;
        if (0.0..=1.0).contains(&ratio) {
            Ok(ratio)
        } else {
            Err(PlatformSettingsError::out_of_range(key, ratio))
        }
    }

    /// The longest `Retry-After`; none where the settings allow none.
    pub(super) fn max_retry_after(&self) -> Result<Option<u64>, PlatformSettingsError> {
        let longest = self.or_default("limits.max_retry_after_ns")?;
        let allowed = self.or_default::<bool>("limits.retry_after")?;
        Ok((allowed && longest > 0).then_some(longest))
    }
}

fn parse_value<T: FromStr>(key: &str, text: &str) -> Result<T, PlatformSettingsError> {
    text.parse()
        .map_err(|_| PlatformSettingsError::invalid_value(key, text))
}
