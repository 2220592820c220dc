/** The kind of a change of a node's view. */
export enum ViewChangeKind {
  SourceEraStarted = "source-era-started",
  RulesInForce = "rules-in-force",
  RulesOlderIgnored = "rules-older-ignored",
  ZoneTakenOut = "zone-taken-out",
  ZoneReturned = "zone-returned",
  BackendServerAdded = "backend-server-added",
  BackendServerDraining = "backend-server-draining",
  BackendServerCold = "backend-server-cold",
  BackendServerRemoved = "backend-server-vanished",
  ForeignItem = "foreign-item",
}
