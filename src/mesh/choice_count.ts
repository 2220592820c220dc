/** Number of choices that share a way and a place. */
export interface ChoiceCount {
  readonly labels: { readonly way: string; readonly place: string };
  choices: number;
}
