/** The kind of content of a configuration part. */
export enum PartKind {
  /** Zones, service names and rules, including the routes. */
  Base = "base",
  /** The backend servers of one service. */
  Service = "service",
}
