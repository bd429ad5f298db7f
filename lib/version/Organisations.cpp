#include "limpetdrum/version/Organisations.h"

#include "limpetdrum/process/Error.h"

namespace limpetdrum {

Organisations::Organisations(std::vector<OrganisationPolicy> Entries)
    : Entries(std::move(Entries)) {
  for (std::size_t I = 0; I < this->Entries.size(); ++I) {
    const auto &Entry = this->Entries[I];
    if (!this->ByName.emplace(Entry.Name, I).second)
      throw ValueError("there are two organisations '" + Entry.Name.value() +
                           "'",
                       "give each organisation a name of its own");
    for (const auto &Key : Entry.Keys) {
      auto [Found, IsNew] = this->ByKey.emplace(Key, I);
      // Keys are secret, so the message does not name the key itself.
      if (!IsNew && Found->second != I)
        throw ValueError(
            "the organisations '" + this->Entries[Found->second].Name.value() +
                "' and '" + Entry.Name.value() + "' have a key in common",
            "give each key to one organisation only");
    }
  }
}

const OrganisationPolicy *
Organisations::findByKey(const std::string &Key) const {
  auto Found = this->ByKey.find(Key);
  return Found == this->ByKey.end() ? nullptr : &this->Entries[Found->second];
}

const OrganisationPolicy *Organisations::find(const Organisation &Name) const {
  auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? nullptr : &this->Entries[Found->second];
}

} // namespace limpetdrum
