#pragma once

#include "knapweedpaddle/common/EnumNames.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace knapweedpaddle::config {

using Json = nlohmann::ordered_json;

/** Thrown inside the codec for a field that is not acceptable. */
struct FieldError
{
  std::string message;
};

/** Reads the fields of one JSON object and refuses those that nobody read. */
class FieldReader
{
public:
  FieldReader(const Json& aObject, std::string aWhere)
    : mObject(aObject)
    , mWhere(std::move(aWhere))
  {
    if (!mObject.is_object()) {
      throw FieldError{ mWhere + ": must be a JSON object" };
    }
  }

  std::string Text(const char* aName, bool aRequired = true)
  {
    const Json* it = Take(aName, aRequired);
    if (!it) {
      return {};
    }
    if (!it->is_string()) {
      throw FieldError{ Label(aName) + " must be a string" };
    }
    return it->get<std::string>();
  }

  double Number(const char* aName, double aDefault)
  {
    const Json* it = Take(aName, false);
    if (!it) {
      return aDefault;
    }
    if (!it->is_number()) {
      throw FieldError{ Label(aName) + " must be a number" };
    }
    return it->get<double>();
  }

  std::int64_t Integer(const char* aName, std::int64_t aDefault)
  {
    const Json* it = Take(aName, false);
    if (!it) {
      return aDefault;
    }
    if (!it->is_number_integer() || it->get<double>() > 9e15 ||
        it->get<double>() < 0) {
      throw FieldError{ Label(aName) +
                        " must be a whole number of at least 0" };
    }
    return it->get<std::int64_t>();
  }

  template<typename Enum, std::size_t N>
  Enum Name(const char* aName,
            const std::array<EnumName<Enum>, N>& aTable,
            Enum aDefault)
  {
    const std::string text = Text(aName, false);
    if (text.empty()) {
      return aDefault;
    }
    if (const auto value = ValueOf(aTable, text)) {
      return *value;
    }
    std::string choices;
    for (const auto& it : aTable) {
      choices += (choices.empty() ? "" : ", ") + std::string(it.name);
    }
    throw FieldError{ Label(aName) + " is \"" + text +
                      "\"; it must be one of " + choices };
  }

  const Json* Array(const char* aName)
  {
    const Json* it = Take(aName, false);
    if (it && !it->is_array()) {
      throw FieldError{ Label(aName) + " must be an array" };
    }
    return it;
  }

  const Json* Object(const char* aName)
  {
    const Json* it = Take(aName, false);
    if (it && !it->is_object()) {
      throw FieldError{ Label(aName) + " must be an object" };
    }
    return it;
  }

  void Finish()
  {
    for (const auto& [key, value] : mObject.items()) {
      if (!mSeen.contains(key)) {
        throw FieldError{ mWhere + ": unknown field \"" + key + "\"" };
      }
    }
  }

private:
  std::string Label(const char* aName) const
  {
    return mWhere + ": field \"" + aName + "\"";
  }

  const Json* Take(const char* aName, bool aRequired)
  {
    mSeen.insert(aName);
    const auto it = mObject.find(aName);
    if (it != mObject.end()) {
      return &*it;
    }
    if (aRequired) {
      throw FieldError{ Label(aName) + " is missing" };
    }
    return nullptr;
  }

  const Json& mObject;
  std::string mWhere;
  std::set<std::string> mSeen;
};

} // namespace knapweedpaddle::config
