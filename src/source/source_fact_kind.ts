/** What a published item tells. */
export enum SourceFactKind {
  Rules = "rules",
  ZoneTakenOut = "zone-taken-out",
  BackendServer = "backend-server",
  /** The item belongs to somebody else or cannot be understood. */
  Foreign = "foreign",
}
