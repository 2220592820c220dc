import type { DocumentSize } from "./document_size.ts";

/** The configuration size that the users expect two years after the start. */
export const twoYearSize: DocumentSize = {
  backendServers: 1200,
  services: 41,
  zones: 15,
  regions: 7,
};
