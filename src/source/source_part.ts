/** A part of the source whose values are small, and whose changes can be read apart from the rules. */
export enum SourcePart {
  BackendServers = "backend-servers",
  ZonesTakenOut = "zones-taken-out",
}
