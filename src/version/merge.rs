//! Joins the files of a configuration folder into one document.
//!
//! The `*.json` files of the folder are read in the order of their names. Objects are merged key by
//! key; any other value, including an array, replaces the value of an earlier file. The merge
//! records for each value which file set it and which earlier files that file overrode.

use std::fmt;
use std::path::{Path, PathBuf};

use indexmap::IndexMap;
use serde::de::{Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The result of reading a configuration folder.
pub type Result<T> = std::result::Result<T, MergeError>;

/// Why a configuration folder could not be read.
#[derive(Debug)]
pub enum MergeError {
    /// The folder or a file in it could not be read.
    Read(PathBuf, std::io::Error),
    /// A file is not valid JSON, or an object in it has a duplicate key.
    Parse(PathBuf, serde_json::Error),
    /// The top-level value of a file is not a JSON object.
    NotAnObject(PathBuf),
    /// The folder has no `*.json` file.
    Empty(PathBuf),
}

impl fmt::Display for MergeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MergeError::Read(path, _) => write!(
                formatter,
                "could not read `{}`; check that it exists and is readable",
                path.display()
            ),
            MergeError::Parse(path, _) => write!(
                formatter,
                "the file `{}` is not valid JSON; correct it at the reported position",
                path.display()
            ),
            MergeError::NotAnObject(path) => write!(
                formatter,
                "the file `{}` does not contain a JSON object; enclose its content in braces",
                path.display()
            ),
            MergeError::Empty(path) => write!(
                formatter,
                "the folder `{}` has no file with the extension .json; name a folder that has one",
                path.display()
            ),
        }
    }
}

impl std::error::Error for MergeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            MergeError::Read(_, error) => Some(error),
            MergeError::Parse(_, error) => Some(error),
            MergeError::NotAnObject(_) | MergeError::Empty(_) => None,
        }
    }
}

/// The source of a value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the file that set the value, without the folder.
    pub file: String,
    /// Names of the files whose value was replaced, in alphabetical order, in which the files are
    /// merged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub overrode: Vec<String>,
}

/// A merged document and the origins of its values, persisted as the object of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MergedConfig {
    /// Always a JSON object.
    pub document: Value,
    /// By JSON pointer; one for each value that is not an object, and for each empty object.
    pub origins: IndexMap<String, Origin>,
}

impl Default for MergedConfig {
    fn default() -> Self {
        Self {
            document: Value::Object(Map::new()),
            origins: IndexMap::new(),
        }
    }
}

impl MergedConfig {
    /// Reads and merges the files of a folder.
    pub fn read_folder(folder: &Path) -> Result<Self> {
        let mut merged = Self::default();
        let files = list_json_files(folder)?;
        if files.is_empty() {
            return Err(MergeError::Empty(folder.into()));
        }
        for path in files {
            let text =
                std::fs::read(&path).map_err(|error| MergeError::Read(path.clone(), error))?;
            let UniqueKeys(value) = serde_json::from_slice(&text)
                .map_err(|error| MergeError::Parse(path.clone(), error))?;
            let Value::Object(object) = value else {
                return Err(MergeError::NotAnObject(path));
            };
            let file = path.file_name().unwrap_or_default().to_string_lossy();
            merged.merge_file(&file, object);
        }
        Ok(merged)
    }

    /// Merges a file into the document; its values override those of the files before it.
    pub fn merge_file(&mut self, file: &str, object: Map<String, Value>) {
        let mut document = std::mem::take(&mut self.document);
        self.merge_value("", &mut document, Value::Object(object), file);
        self.document = document;
    }

    /// Returns the file that set the value at a path, or the last file that set a value below it.
    ///
    /// For a path that is not in the document, such as that of a missing field, the file of the
    /// closest enclosing value is returned.
    pub fn file_of(&self, path: &str) -> Option<&str> {
        let mut path = path;
        loop {
            if let Some(origin) = self.origins.get(path) {
                return Some(&origin.file);
            }
            let below = |key: &&String| is_below(key, path);
            let files = self.origins.keys().filter(below);
            let last = files.map(|key| self.origins[key].file.as_str()).max();
            if last.is_some() || path.is_empty() {
                return last;
            }
            path = &path[..path.rfind('/').unwrap_or(0)];
        }
    }

    fn merge_value(&mut self, path: &str, old: &mut Value, new: Value, file: &str) {
        match (old, new) {
            (Value::Object(old), Value::Object(new)) => {
                if !new.is_empty() {
                    self.origins.shift_remove(path);
                }
                for (key, value) in new {
                    let path = child_path(path, &key);
                    match old.get_mut(&key) {
                        Some(old) => self.merge_value(&path, old, value, file),
                        None => {
                            self.record_origin(&path, &value, file, Vec::new());
                            old.insert(key, value);
                        }
                    }
                }
            }
            (old, new) => {
                let overrode = self.remove_origins(path);
                self.record_origin(path, &new, file, overrode);
                *old = new;
            }
        }
    }

    /// Removes the origins at and below a path and returns the names of their files.
    fn remove_origins(&mut self, path: &str) -> Vec<String> {
        let mut files = Vec::new();
        self.origins.retain(|key, origin| {
            let removed = key == path || is_below(key, path);
            if removed {
                files.append(&mut origin.overrode);
                files.push(std::mem::take(&mut origin.file));
            }
            !removed
        });
        files.sort();
        files.dedup();
        files
    }

    fn record_origin(&mut self, path: &str, value: &Value, file: &str, overrode: Vec<String>) {
        if let Value::Object(object) = value
            && !object.is_empty()
        {
            for (key, value) in object {
                self.record_origin(&child_path(path, key), value, file, overrode.clone());
            }
            return;
        }
        let file = file.to_string();
        self.origins
            .insert(path.to_string(), Origin { file, overrode });
    }
}

/// Appends the escaped key of a member to the JSON pointer of an object.
pub fn child_path(path: &str, key: &str) -> String {
    format!("{path}/{}", key.replace('~', "~0").replace('/', "~1"))
}

fn is_below(key: &str, path: &str) -> bool {
    key.strip_prefix(path)
        .is_some_and(|rest| rest.starts_with('/'))
}

fn list_json_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let failed = |error| MergeError::Read(folder.into(), error);
    let mut files = Vec::new();
    for item in std::fs::read_dir(folder).map_err(failed)? {
        let path = item.map_err(failed)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// A JSON value without duplicate keys. Deserializing a plain `Value` silently uses the last
/// duplicate, so that a copied block could replace a value of the same file unnoticed.
struct UniqueKeys(Value);

impl<'de> Deserialize<'de> for UniqueKeys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_any(UniqueKeysVisitor)
    }
}

struct UniqueKeysVisitor;

impl<'de> Visitor<'de> for UniqueKeysVisitor {
    type Value = UniqueKeys;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> std::result::Result<UniqueKeys, E> {
        Ok(UniqueKeys(Value::Null))
    }

    fn visit_bool<E>(self, value: bool) -> std::result::Result<UniqueKeys, E> {
        Ok(UniqueKeys(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> std::result::Result<UniqueKeys, E> {
        Ok(UniqueKeys(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> std::result::Result<UniqueKeys, E> {
        Ok(UniqueKeys(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> std::result::Result<UniqueKeys, E> {
        Ok(UniqueKeys(value.into()))
    }

    fn visit_str<E>(self, value: &str) -> std::result::Result<UniqueKeys, E> {
        Ok(UniqueKeys(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut sequence: A,
    ) -> std::result::Result<UniqueKeys, A::Error> {
        let mut values = Vec::new();
        while let Some(UniqueKeys(value)) = sequence.next_element()? {
            values.push(value);
        }
        Ok(UniqueKeys(Value::Array(values)))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> std::result::Result<UniqueKeys, A::Error> {
        let mut object = Map::new();
        while let Some(key) = map.next_key::<String>()? {
            let UniqueKeys(value) = map.next_value()?;
            if object.contains_key(&key) {
                return Err(A::Error::custom(format!("the key `{key}` is there twice")));
            }
            object.insert(key, value);
        }
        Ok(UniqueKeys(Value::Object(object)))
    }
}
