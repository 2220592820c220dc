import { computeDigest } from "./compute_digest.ts";
import type { Manifest } from "./manifest.ts";
import type { Version } from "./version.ts";

/** Returns the version that a manifest describes; its digest is that of the manifest. */
export function getManifestVersion(manifest: Manifest): Version {
  return { number: manifest.number, digest: computeDigest(manifest) };
}
