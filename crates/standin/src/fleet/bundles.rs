//! Signing and submission of bundles by the operator of a fleet.

use camphordale_bundle::{
    SignedBundle,
    parse_bundle,
    public_to_text, //
};
use camphordale_types::{
    Bundle,
    Operator,
    Operators, //
};
use serde_json::Value;

use super::{
    Fleet,
    FleetError,
    OPERATOR_PORT,
    VmLocation,
    client,
    post_json, //
};

impl Fleet {
    /// Signs a bundle with these services in YAML as the next version and submits it to one VM.
    /// Returns the version.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is invalid or not accepted.
    pub fn submit(&mut self, services: &str, to: VmLocation) -> Result<u64, FleetError> {
        let bundle = self.parse(services)?;
        self.submit_bundle(bundle, to)
    }

    /// Signs a bundle with these services in YAML as the next version, without submitting it.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is invalid.
    pub fn sign(&self, services: &str) -> Result<SignedBundle, FleetError> {
        Ok(self.sign_bundle(self.parse(services)?).1)
    }

    /// Submits a signed bundle to one VM. An accepted bundle becomes the latest one, which the
    /// next version follows.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is not accepted.
    pub fn submit_signed(
        &mut self,
        signed: &SignedBundle,
        to: VmLocation,
    ) -> Result<Value, FleetError> {
        let body = client::bundle_body(signed);
        let response = post_json(self.address(to, OPERATOR_PORT), "/v1/bundle", &body)?;
        let version = response["standing_version"].as_u64().unwrap_or_default();
        if self
            .latest_bundle
            .is_none_or(|(latest, _)| latest < version)
        {
            self.latest_bundle = Some((version, signed.digest()));
        }
        Ok(response)
    }

    fn parse(&self, services: &str) -> Result<Bundle, FleetError> {
        let key = public_to_text(&self.operator_key);
        let yaml = format!(
            "version: 1\noperators: {{needed: 1, keys: [{{name: amina, key: {key}}}]}}\n\
             services:\n{services}"
        );
        parse_bundle(&yaml).map_err(|err| FleetError::new("parse the bundle", err))
    }

    /// Signs a bundle as the next version and submits it to one VM. The operators of the bundle
    /// are replaced by that of the fleet. Returns the version.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle is not accepted.
    pub fn submit_bundle(&mut self, bundle: Bundle, to: VmLocation) -> Result<u64, FleetError> {
        let (version, signed) = self.sign_bundle(bundle);
        let body = client::bundle_body(&signed);
        post_json(self.address(to, OPERATOR_PORT), "/v1/bundle", &body)?;
        self.latest_bundle = Some((version, signed.digest()));
        Ok(version)
    }

    fn sign_bundle(&self, mut bundle: Bundle) -> (u64, SignedBundle) {
        (bundle.version, bundle.previous) = match self.latest_bundle {
            None => (1, None),
            Some((version, digest)) => (version + 1, Some(digest)),
        };
        bundle.operators = Operators {
            needed: 1,
            keys: vec![Operator {
                name: "amina".into(),
                key: self.operator_key.verifying_key().to_bytes(),
            }],
        };
        let mut signed = SignedBundle::new(&bundle);
        signed.sign("amina", &self.operator_key);
        (bundle.version, signed)
    }
}
