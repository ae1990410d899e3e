use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use dotterelhook_state::config::ConfigDocument;
use dotterelhook_state::config::DocumentKind;
use dotterelhook_state::config::PublicationOutcome;
use dotterelhook_types::document::Document;
use dotterelhook_types::document::DocumentError;
use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;
use serde_json::Value;

const FILE_EXTENSION: &str = "jsonc";

/// The documents of a directory of settings, with the errors in its files.
#[derive(Debug, Default)]
pub(super) struct ConfigTree {
    /// The valid documents by path.
    pub(super) documents: BTreeMap<ConfigPath, Value>,
    /// The errors in all files.
    pub(super) errors: Vec<DocumentError>,
    sources: BTreeMap<ConfigPath, Document>,
}

impl ConfigTree {
    /// Reads and checks all `.jsonc` files of a directory that mirrors the tree of paths.
    pub(super) fn read(directory: &Path) -> Self {
        let mut tree = Self::default();
        let mut files = Vec::new();
        if let Err(error) = list_files(directory, &mut files) {
            tree.errors
                .push(file_error(directory, &format!("can't read: {error}")));
        }
        files.sort();
        for file in files {
            match read_document(directory, &file) {
                Ok((path, source)) => {
                    tree.documents.insert(path.clone(), source.value().clone());
                    tree.sources.insert(path, source);
                }
                Err(error) => tree.errors.push(error),
            }
        }
        tree
    }

    /// Adds an error in one field, with its place in the file of the document.
    pub(super) fn add_field_error(&mut self, path: &ConfigPath, error: &FieldError) {
        if let Some(source) = self.sources.get(path) {
            self.errors.push(source.locate(error));
        }
    }

    /// Adds the refusal of a publication as an error in its document.
    pub(super) fn add_refusal(&mut self, outcome: &PublicationOutcome) {
        if let (Some(path), Some(refusal)) = (&outcome.path, &outcome.refusal) {
            let error = FieldError::new(refusal.field(), refusal.rule());
            self.add_field_error(path, &error);
        }
    }
}

fn list_files(directory: &Path, files: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.is_dir() {
            list_files(&path, files)?;
        } else if path
            .extension()
            .is_some_and(|extension| extension == FILE_EXTENSION)
        {
            files.push(path);
        }
    }
    Ok(())
}

fn read_document(directory: &Path, file: &Path) -> Result<(ConfigPath, Document), DocumentError> {
    let relative = file
        .strip_prefix(directory)
        .unwrap_or(file)
        .with_extension("");
    let path: ConfigPath = relative
        .to_string_lossy()
        .parse()
        .map_err(|error| file_error(file, &format!("{error}")))?;
    if matches!(
        DocumentKind::try_from(&path),
        Ok(DocumentKind::Evacuation(_))
    ) {
        let rule = "an evacuation is no setting; request it with dotterelhook evacuate";
        return Err(file_error(file, rule));
    }
    let text = fs::read_to_string(file)
        .map_err(|error| file_error(file, &format!("can't read: {error}")))?;
    let document = Document::parse(&file.display().to_string(), &text)?;
    ConfigDocument::check(&path, document.value()).map_err(|error| document.locate(&error))?;
    Ok((path, document))
}

fn file_error(file: &Path, rule: &str) -> DocumentError {
    DocumentError {
        file: file.display().to_string().into(),
        line: 1,
        column: 1,
        field: "".into(),
        value: "".into(),
        rule: rule.into(),
    }
}
