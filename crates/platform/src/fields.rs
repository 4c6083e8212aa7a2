//! Typed access to the fields of a decoded JSON object. Errors name the field.
use crate::errors::InputError;
use applepond::interface::Micros;
use serde_json::Value;

/// A value read from the input, or why the input is invalid.
pub type InputResult<T> = Result<T, InputError>;

/// Returns the error for an invalid field; `problem` says what was expected.
///
/// # Errors
/// Always.
pub fn invalid_field<T>(name: &str, problem: &str) -> InputResult<T> {
    Err(InputError::field(name, problem))
}

/// The field, or `None` if it is absent or null.
pub fn optional<'a>(object: &'a Value, name: &str) -> Option<&'a Value> {
    object.get(name).filter(|value| !value.is_null())
}

/// The field as an object.
///
/// # Errors
/// The field is absent or not an object.
pub fn object<'a>(from: &'a Value, name: &str) -> InputResult<&'a Value> {
    optional(from, name)
        .filter(|value| value.is_object())
        .map_or_else(|| invalid_field(name, "expected an object"), Ok)
}

/// The field as an array.
///
/// # Errors
/// The field is absent or not an array.
pub fn array<'a>(from: &'a Value, name: &str) -> InputResult<&'a Vec<Value>> {
    optional(from, name)
        .and_then(Value::as_array)
        .map_or_else(|| invalid_field(name, "expected an array"), Ok)
}

/// The field as a string.
///
/// # Errors
/// The field is absent or not a string.
pub fn text<'a>(from: &'a Value, name: &str) -> InputResult<&'a str> {
    optional(from, name).and_then(Value::as_str).map_or_else(|| invalid_field(name, "expected a string"), Ok)
}

/// The field as a number.
///
/// # Errors
/// The field is absent or not a number.
pub fn number(from: &Value, name: &str) -> InputResult<f64> {
    optional(from, name).and_then(Value::as_f64).map_or_else(|| invalid_field(name, "expected a number"), Ok)
}

/// The field as a number, or `default` if it is absent.
///
/// # Errors
/// The field is not a number.
pub fn number_or(from: &Value, name: &str, default: f64) -> InputResult<f64> {
    optional(from, name).map_or(Ok(default), |_| number(from, name))
}

/// The field as an unsigned integer.
///
/// # Errors
/// The field is absent or not an unsigned integer.
pub fn unsigned(from: &Value, name: &str) -> InputResult<u64> {
    optional(from, name)
        .and_then(Value::as_u64)
        .map_or_else(|| invalid_field(name, "expected an unsigned integer"), Ok)
}

/// The field as a boolean; false if it is absent.
///
/// # Errors
/// The field is not a boolean.
pub fn flag(from: &Value, name: &str) -> InputResult<bool> {
    match optional(from, name) {
        None => Ok(false),
        Some(value) => value.as_bool().map_or_else(|| invalid_field(name, "expected true or false"), Ok),
    }
}

/// Converts milliseconds, as used in the files, to whole microseconds. Negative times become 0.
fn micros_of(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// The field, given in milliseconds, as a time in microseconds.
///
/// # Errors
/// The field is absent or not a number.
pub fn time(from: &Value, name: &str) -> InputResult<Micros> {
    number(from, name).map(micros_of)
}

/// The field, given in milliseconds, as a time in microseconds; 0 if it is absent.
///
/// # Errors
/// The field is not a number.
pub fn time_or_zero(from: &Value, name: &str) -> InputResult<Micros> {
    number_or(from, name, 0.0).map(micros_of)
}

/// The index of the field's value among the names defined by the settings.
///
/// # Errors
/// The field is absent, not a string, or not one of the names.
pub fn name_index(names: &[String], from: &Value, name: &str) -> InputResult<usize> {
    let value = text(from, name)?;
    names
        .iter()
        .position(|known| known == value)
        .map_or_else(|| invalid_field(name, "expected a name defined in the settings"), Ok)
}
