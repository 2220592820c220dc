/** The calls of an organisation that ended in one way. */
export interface OrganisationCount {
  readonly labels: { readonly organisation: string; readonly kind: string };
  calls: number;
}
