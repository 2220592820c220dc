/** Returns the name of the part that holds the backend servers of a service. */
export function getServicePartName(service: string): string {
  return `service/${service}`;
}
