/** Numbers of entries in a generated configuration. */
export interface DocumentSize {
  readonly backendServers: number;
  readonly services: number;
  readonly zones: number;
  readonly regions: number;
}
