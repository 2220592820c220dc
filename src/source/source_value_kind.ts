/** What a published item describes. */
export enum SourceValueKind {
  Rules = "rules",
  /** Availability zone that is taken out; the removal of the item returns it to service. */
  ZoneTakenOut = "zone-taken-out",
  BackendServer = "backend-server",
  /** The item has an unknown key or an invalid value. */
  Foreign = "foreign",
}
