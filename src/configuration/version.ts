/**
 * Names one published configuration. Versions are ordered by `number` and then
 * by `digest`, so that two contents published under one number have one order
 * on every node.
 */
export interface Version {
  /** A positive whole number that the operators raise with each publication. */
  readonly number: number;
  /** SHA-256 over the manifest of the parts, as 64 lower-case hexadecimal digits. */
  readonly digest: string;
}
