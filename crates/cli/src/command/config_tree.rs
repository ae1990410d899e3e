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
/// The largest number of segments of a document's path.
const DOCUMENT_SEGMENTS_MAX: usize = 3;

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

    /// Reads and checks one file of a directory of settings.
    pub(super) fn read_file(file: &Path) -> Self {
        let mut tree = Self::default();
        match root_of(file).and_then(|root| read_document(&root, file)) {
            Ok((path, source)) => {
                tree.documents.insert(path.clone(), source.value().clone());
                tree.sources.insert(path, source);
            }
            Err(error) => tree.errors.push(error),
        }
        tree
    }

    /// Adds file, line and column to an error in a document; a document without a file is named by its
    /// path.
    pub(super) fn locate(&self, path: &ConfigPath, error: &FieldError) -> DocumentError {
        match self.sources.get(path) {
            Some(source) => source.locate(error),
            None => DocumentError {
                field: error.field.clone(),
                ..file_error(Path::new(path.as_str()), &error.rule)
            },
        }
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

/// Returns the directory that mirrors the tree of paths, from the place of one file in it.
fn root_of(file: &Path) -> Result<PathBuf, DocumentError> {
    let file = std::path::absolute(file).unwrap_or_else(|_| file.to_owned());
    let roots = file.ancestors().skip(2).take(DOCUMENT_SEGMENTS_MAX - 1);
    let mut roots = roots.filter(|root| {
        let relative = file.strip_prefix(root).unwrap_or(&file).with_extension("");
        let path: Option<ConfigPath> = relative.to_string_lossy().parse().ok();
        path.is_some_and(|path| DocumentKind::try_from(&path).is_ok())
    });
    roots.next().map(Path::to_owned).ok_or_else(|| {
        let rule = "a file of settings is TEAM/services/NAME, TEAM/jobs/NAME or TEAM/quota";
        file_error(&file, rule)
    })
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
    let absolute = std::path::absolute(file).unwrap_or_else(|_| file.to_owned());
    let relative = file
        .strip_prefix(directory)
        .or_else(|_| absolute.strip_prefix(directory))
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
