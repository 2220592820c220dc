/** Sizes of the JSON forms of one version, in bytes. */
export interface DocumentBytes {
  readonly backendServers: number;
  readonly document: number;
  readonly manifest: number;
  /** Number of parts. */
  readonly parts: number;
  readonly basePart: number;
  readonly largestServicePart: number;
}
