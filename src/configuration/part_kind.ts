/** What a part of a configuration holds. */
export enum PartKind {
  /** Zones, names of services, routes and the other rules. */
  Base = "base",
  /** The backend servers of one service. */
  Service = "service",
}
