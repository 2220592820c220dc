/** How large a generated configuration is. */
export interface DocumentSize {
  readonly backendServers: number;
  readonly services: number;
  readonly zones: number;
  readonly regions: number;
}
