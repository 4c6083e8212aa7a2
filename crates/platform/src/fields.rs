//! Readers of single fields of a decoded JSON object; a fault names the field.
use crate::errors::InputError;
use applepond::interface::Micros;
use serde_json::Value;

/// A value, or why the file is not valid.
pub type InputResult<T> = Result<T, InputError>;

/// The fault that the field of this name is not what is wanted.
///
/// # Errors
/// Always.
pub fn invalid_field<T>(name: &str, wanted: &str) -> InputResult<T> {
    Err(InputError::field(name, wanted))
}

/// The field, or none where it is absent or null.
pub fn optional<'a>(object: &'a Value, name: &str) -> Option<&'a Value> {
    object.get(name).filter(|value| !value.is_null())
}

/// The field as an object.
///
/// # Errors
/// It is absent or something else.
pub fn object<'a>(from: &'a Value, name: &str) -> InputResult<&'a Value> {
    optional(from, name)
        .filter(|value| value.is_object())
        .map_or_else(|| invalid_field(name, "an object is wanted"), Ok)
}

/// The field as an array.
///
/// # Errors
/// It is absent or something else.
pub fn array<'a>(from: &'a Value, name: &str) -> InputResult<&'a Vec<Value>> {
    optional(from, name)
        .and_then(Value::as_array)
        .map_or_else(|| invalid_field(name, "an array is wanted"), Ok)
}

/// The field as a text.
///
/// # Errors
/// It is absent or something else.
pub fn text<'a>(from: &'a Value, name: &str) -> InputResult<&'a str> {
    optional(from, name).and_then(Value::as_str).map_or_else(|| invalid_field(name, "a text is wanted"), Ok)
}

/// The field as a number.
///
/// # Errors
/// It is absent or something else.
pub fn number(from: &Value, name: &str) -> InputResult<f64> {
    optional(from, name).and_then(Value::as_f64).map_or_else(|| invalid_field(name, "a number is wanted"), Ok)
}

/// The field as a number, or `absent` where there is no such field.
///
/// # Errors
/// It is something else.
pub fn number_or(from: &Value, name: &str, absent: f64) -> InputResult<f64> {
    optional(from, name).map_or(Ok(absent), |_| number(from, name))
}

/// The field as a whole number that is not negative.
///
/// # Errors
/// It is absent or something else.
pub fn unsigned(from: &Value, name: &str) -> InputResult<u64> {
    optional(from, name)
        .and_then(Value::as_u64)
        .map_or_else(|| invalid_field(name, "a whole number is wanted"), Ok)
}

/// The field as a truth value; false where there is no such field.
///
/// # Errors
/// It is something else.
pub fn flag(from: &Value, name: &str) -> InputResult<bool> {
    match optional(from, name) {
        None => Ok(false),
        Some(value) => value.as_bool().map_or_else(|| invalid_field(name, "true or false is wanted"), Ok),
    }
}

/// A time in ms as it stands in files, in whole µs; none is negative.
fn micros_of(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// The field, in ms, as a time in µs.
///
/// # Errors
/// It is absent or no number.
pub fn time(from: &Value, name: &str) -> InputResult<Micros> {
    number(from, name).map(micros_of)
}

/// The field, in ms, as a time in µs; 0 where there is no such field.
///
/// # Errors
/// It is no number.
pub fn time_or_zero(from: &Value, name: &str) -> InputResult<Micros> {
    number_or(from, name, 0.0).map(micros_of)
}

/// Index of the row that the field names, among the names of the settings.
///
/// # Errors
/// It is absent, no text, or not among them.
pub fn name_index(names: &[String], from: &Value, name: &str) -> InputResult<usize> {
    let wanted = text(from, name)?;
    names
        .iter()
        .position(|known| known == wanted)
        .map_or_else(|| invalid_field(name, "a name of the settings is wanted"), Ok)
}
