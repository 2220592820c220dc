/**
 * Identifies one published configuration. Versions are ordered by `number` and
 * then by `digest`, so that every node orders two contents published under the
 * same number alike.
 */
export interface Version {
  /** A positive integer that the operators increase with each publication. */
  readonly number: number;
  /** The SHA-256 digest of the manifest, as 64 lower-case hexadecimal digits. */
  readonly digest: string;
}
