import type { DocumentSize } from "./document_size.ts";
import { twoYearSize } from "./two_year_size.ts";

const minimumServices = 4;
const minimumZones = 3;

/** Returns the two-year size scaled to the given number of backend servers. */
export function scaleDocumentSize(backendServers: number): DocumentSize {
  const ratio = backendServers / twoYearSize.backendServers;
  return {
    backendServers,
    services: Math.max(
      minimumServices,
      Math.round(twoYearSize.services * ratio),
    ),
    zones: Math.max(minimumZones, Math.round(twoYearSize.zones * ratio)),
    regions: Math.max(1, Math.round(twoYearSize.regions * ratio)),
  };
}
