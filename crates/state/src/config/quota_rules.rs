use dotterelhook_types::document::FieldError;
use dotterelhook_types::ids::ConfigPath;

use super::ConfigDocument;
use super::ConfigState;

/// Checks that each single task of a team fits into the team's quota. A larger task could never be
/// placed.
pub(super) fn check_quota(
    state: &ConfigState,
    path: &ConfigPath,
    document: &ConfigDocument,
) -> Result<(), FieldError> {
    let team = path.team();
    match document {
        ConfigDocument::Job(_, job) => match state.quota(&team) {
            Some(quota) if !job.size.fits_in(&quota.batch) => {
                let rule = format!("one task must fit in the team's quota of {}", quota.batch);
                Err(FieldError::new("size", rule))
            }
            _ => Ok(()),
        },
        ConfigDocument::Quota(quota) => {
            let prefix: Box<str> = format!("{team}/jobs/").into();
            let team_jobs = state
                .versions()
                .iter()
                .filter(|(path, _)| path.as_str().starts_with(&*prefix));
            for (path, version) in team_jobs {
                if let ConfigDocument::Job(_, job) = &*version.document
                    && !job.size.fits_in(&quota.batch)
                {
                    let rule = format!("must hold one task of {path}: {}", job.size);
                    return Err(FieldError::new("batch", rule));
                }
            }
            Ok(())
        }
        ConfigDocument::Service(..) | ConfigDocument::Evacuation(..) => Ok(()),
    }
}
