//! `certificates FOLDER --entry ID ...`: creates certificates for the connections between entries.
//!
//! Writes the certificate authority of the site (`authority.pem`, `authority.key`) and, for each
//! entry, `ID.pem` and `ID.key` to the folder. An existing authority is reused, so that entries can
//! be added later. Existing files of an entry are never overwritten.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose, SanType,
};
use serde_json::json;

use crate::admin::{AdminError, Arguments, Report, Result};

/// Readable only by the owner of the file.
const KEY_FILE_MODE: u32 = 0o600;
const CERTIFICATE_FILE_MODE: u32 = 0o644;

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<Report> {
    let folder = arguments.folder_operand()?;
    let entries = arguments.matches.opt_strs("entry");
    if entries.is_empty() {
        return Err(AdminError::Usage(
            "specify at least one entry with `--entry`".into(),
        ));
    }
    for entry in &entries {
        check_entry_id(entry)?;
    }
    let files = create_certificates(folder, &entries)?;
    let names: Vec<String> = files
        .iter()
        .map(|path| path.display().to_string())
        .collect();
    let text = format!(
        "wrote {}\nkeep authority.key away from the entry VMs\n",
        names.join(", ")
    );
    Ok(Report::success(text, json!({"done": true, "files": names})))
}

/// Creates a certificate for each entry, and the authority if `folder` has none. Returns the paths
/// of the new files.
pub fn create_certificates(folder: &Path, entries: &[String]) -> Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder).map_err(|error| AdminError::File(folder.into(), error))?;
    let mut files = Vec::new();
    let issuer = load_or_create_authority(folder, &mut files)?;
    for entry in entries {
        let key = KeyPair::generate().map_err(AdminError::Certificate)?;
        let params = entry_params(entry)?;
        let certificate = params.signed_by(&key, &issuer);
        let certificate = certificate.map_err(AdminError::Certificate)?;
        let key_path = folder.join(format!("{entry}.key"));
        create_file(key_path, &key.serialize_pem(), KEY_FILE_MODE, &mut files)?;
        let path = folder.join(format!("{entry}.pem"));
        create_file(path, &certificate.pem(), CERTIFICATE_FILE_MODE, &mut files)?;
    }
    Ok(files)
}

fn load_or_create_authority(
    folder: &Path,
    files: &mut Vec<PathBuf>,
) -> Result<Issuer<'static, KeyPair>> {
    let key_path = folder.join("authority.key");
    if key_path.exists() {
        let text = std::fs::read_to_string(&key_path)
            .map_err(|error| AdminError::File(key_path.clone(), error))?;
        let key = KeyPair::from_pem(&text).map_err(AdminError::Certificate)?;
        return Ok(Issuer::new(authority_params(), key));
    }
    let key = KeyPair::generate().map_err(AdminError::Certificate)?;
    let params = authority_params();
    let certificate = params.self_signed(&key).map_err(AdminError::Certificate)?;
    let path = folder.join("authority.pem");
    create_file(path, &certificate.pem(), CERTIFICATE_FILE_MODE, files)?;
    create_file(key_path, &key.serialize_pem(), KEY_FILE_MODE, files)?;
    Ok(Issuer::new(params, key))
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name("sapphireford site authority");
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
}

fn entry_params(entry: &str) -> Result<CertificateParams> {
    let mut params = CertificateParams::default();
    let dns_name = entry.try_into().map_err(AdminError::Certificate)?;
    params.subject_alt_names = vec![SanType::DnsName(dns_name)];
    params.distinguished_name = common_name(entry);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    // An entry both accepts connections from its peers and opens connections to them.
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    Ok(params)
}

fn common_name(text: &str) -> DistinguishedName {
    let mut name = DistinguishedName::new();
    name.push(DnType::CommonName, text);
    name
}

fn create_file(path: PathBuf, text: &str, mode: u32, files: &mut Vec<PathBuf>) -> Result<()> {
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&path);
    let written = opened.and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|error| AdminError::File(path.clone(), error))?;
    files.push(path);
    Ok(())
}

fn check_entry_id(entry: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let is_reserved = entry == "authority" || entry.starts_with('.');
    if entry.is_empty() || is_reserved || !entry.chars().all(is_allowed) {
        let reason = format!(
            "`{entry}` is not a valid entry id; use letters, digits, `-`, `_` and `.`, \
             no leading `.`, and not `authority`"
        );
        return Err(AdminError::Usage(reason));
    }
    Ok(())
}
