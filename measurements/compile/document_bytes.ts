/** Sizes of one version in JSON, in bytes. */
export interface DocumentBytes {
  readonly backendServers: number;
  readonly document: number;
  readonly manifest: number;
  readonly parts: number;
  readonly basePart: number;
  readonly largestServicePart: number;
}
